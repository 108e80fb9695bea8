package berylapi

// ErrorBody is the JSON body of every error answer, in the shape that OpenAI clients read.
type ErrorBody struct {
	// Error is what went wrong.
	Error Error `json:"error"`
}

// Error says what went wrong with a request and what to do next.
type Error struct {
	// Message says what is wrong and what to do next.
	Message string `json:"message"`
	// Type is the coarse kind of error, such as "invalid_request_error".
	Type string `json:"type"`
	// Param names the field at fault, or is null.
	Param *string `json:"param"`
	// Code is the stable code, such as "not-run".
	Code string `json:"code"`
}
